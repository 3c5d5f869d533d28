/** The retry budgets of all services that an entry has called. */
import * as retryBudget from './retry_budget.js';

/** Most services whose budget is kept; the one called longest ago is dropped first. */
const MAX_SERVICES = 1_000;

/** Budgets by service, bounded. */
export class ServiceBudgets {
  private readonly budgets = new Map<string, retryBudget.RetryBudget>();

  /** Returns the budget of a service without keeping a new one. */
  peek(service: string): retryBudget.RetryBudget {
    return this.budgets.get(service) ?? new retryBudget.RetryBudget();
  }

  /** Returns the budget of a service, new if it has none. */
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
