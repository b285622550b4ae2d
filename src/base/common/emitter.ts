/**
 * Events in the `onDid…` / `onWill…` manner: an emitter is private to its owner, who hands out only
 * the function that subscribes.
 */
import { createDisposable, type Disposable } from './disposable.js';

/** Subscribes a listener; disposing of the result unsubscribes it. */
export type Event<Value> = (listener: (value: Value) => void) => Disposable;

/** The two ends of an event. */
export interface Emitter<Value> {
  readonly event: Event<Value>;
  readonly fire: (value: Value) => void;
}

/** Creates an emitter with no listeners. Listeners run in the order of subscription. */
export const createEmitter = <Value>(): Emitter<Value> => {
  const listeners = new Set<(value: Value) => void>();
  return {
    event: (listener) => {
      listeners.add(listener);
      return createDisposable(() => listeners.delete(listener));
    },
    fire: (value) => [...listeners].forEach((listener) => listener(value)),
  };
};
