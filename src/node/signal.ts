/** Something that happens once and can be waited for. */
export class Signal {
  private resolve: () => void = () => undefined;

  /** Resolves when the signal is raised. */
  readonly raised = new Promise<void>(resolve => {
    this.resolve = resolve;
  });

  /** Raises the signal; again without effect. */
  raise(): void {
    this.resolve();
  }
}
