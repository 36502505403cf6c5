package org.kumquatvane.document;

import java.time.Duration;

/**
 * Retry policy of a service.
 *
 * @param mode kind of policy
 * @param maximumAttempts maximum number of attempts of one logical request, at least 1
 * @param budgetPercent allowed retries as a share of the service's recent requests, in percent
 * @param baseBackoff delay before the first retry; doubles with each further retry, with jitter
 */
public record RetrySettings(
    RetryMode mode, int maximumAttempts, int budgetPercent, Duration baseBackoff) {}
