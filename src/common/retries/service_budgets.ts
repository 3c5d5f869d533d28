/** Retry budgets of the services that an entry calls. */
import * as retryBudget from './retry_budget.js';

/** Maximum number of services with a budget; the one called longest ago is dropped first. */
const MAX_SERVICES = 1_000;

/** Retry budgets by service, bounded to the most recently called services. */
export class ServiceBudgets {
  private readonly budgets = new Map<string, retryBudget.RetryBudget>();

  /** Returns the budget of a service, or a new one that is not stored. */
  peek(service: string): retryBudget.RetryBudget {
    return this.budgets.get(service) ?? new retryBudget.RetryBudget();
  }

  /** Returns the budget of a service; creates and stores it if there is none. */
  of(service: string): retryBudget.RetryBudget {
    const budget = this.budgets.get(service) ?? new retryBudget.RetryBudget();
    this.budgets.delete(service);
    this.budgets.set(service, budget);
    if (this.budgets.size > MAX_SERVICES) {
      const [oldest] = this.budgets.keys();
      this.budgets.delete(oldest);
    }
    return budget;
  }
}
