/** Resources that are disposed together, the last one added first. */
export class ResourceStack implements AsyncDisposable {
  private readonly resources: Array<AsyncDisposable | Disposable> = [];

  /** Takes ownership of a resource and returns it. */
  use<T extends AsyncDisposable | Disposable>(resource: T): T {
    this.resources.push(resource);
    return resource;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.resources.splice(0).reverse()) {
      if (Symbol.asyncDispose in resource) {
        await resource[Symbol.asyncDispose]();
      } else {
        resource[Symbol.dispose]();
      }
    }
  }
}
