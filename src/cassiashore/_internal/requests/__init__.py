"""Identity of requests, what is known of each, retries, and requests that crash targets."""
