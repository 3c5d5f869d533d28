/** A one-shot event that can be awaited. */
export class Signal {
  private resolve: () => void = () => undefined;

  /** Resolves when the signal is raised. */
  readonly raised = new Promise<void>(resolve => {
    this.resolve = resolve;
  });

  /** Raises the signal; repeated calls have no effect. */
  raise(): void {
    this.resolve();
  }
}
