/**
 * Resource lifetimes: functions that open a resource return a `Disposable`, and their caller must
 * dispose of it.
 */

/** Owns a resource until it is disposed of. Calling `dispose` again has no effect. */
export interface Disposable {
  readonly dispose: () => void;
}

/** Owns a resource that is released asynchronously, such as a listening socket. */
export interface AsyncDisposable {
  readonly dispose: () => Promise<void>;
}

/** Creates a disposable whose release function runs at most once. */
export const createDisposable = (release: () => void): Disposable => {
  let disposed = false;
  return {
    dispose: () => {
      if (disposed) return;
      disposed = true;
      release();
    },
  };
};
