"""Request state machine, idempotency keys, claims and retry budgets."""
