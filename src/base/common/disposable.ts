/**
 * Lifetimes: whatever is opened returns a `Disposable`, and whoever opened it disposes of it.
 */

/** Something that holds a resource until it is disposed of. Disposing twice has no effect. */
export interface Disposable {
  readonly dispose: () => void;
}

/** Something whose release takes time, such as a listening socket. */
export interface AsyncDisposable {
  readonly dispose: () => Promise<void>;
}

/** Wraps a release function so that it runs at most once. */
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
