package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Times of a planned stop, counted from its start.
 *
 * @param drainNotice how long new requests are still accepted while the VM reports not ready
 * @param drainDeadline when requests that still run are terminated
 */
public record DrainSettings(Duration drainNotice, Duration drainDeadline) {}
