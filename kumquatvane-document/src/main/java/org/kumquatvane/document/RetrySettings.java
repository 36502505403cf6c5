package org.kumquatvane.document;

import java.time.Duration;

/**
 * When attempts are repeated.
 *
 * @param mode the policy
 * @param maximumAttempts attempts of one logical request, at least 1
 * @param budgetPercent retries allowed as a share of recent requests of the service, in percent
 * @param baseBackoff wait before the first retry; doubles with each further one, with jitter
 */
public record RetrySettings(
    RetryMode mode, int maximumAttempts, int budgetPercent, Duration baseBackoff) {}
