"""Request keys and their records, store claims, retry budgets, and crash-causing requests."""
