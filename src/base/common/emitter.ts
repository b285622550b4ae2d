/**
 * Event emitters for `onDid…` and `onWill…` events. The emitter is private to its owner, which
 * exposes only the subscription function.
 */
import { createDisposable, type Disposable } from './disposable.js';

/** Subscribes a listener; dispose of the result to unsubscribe it. */
export type Event<Value> = (listener: (value: Value) => void) => Disposable;

/** The subscribing and the firing side of an event. */
export interface Emitter<Value> {
  readonly event: Event<Value>;
  readonly fire: (value: Value) => void;
}

/**
 * Creates an emitter without listeners. Listeners run synchronously in the order of subscription.
 */
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
