package org.kumquatvane.document;

/**
 * Limits of a service's admission queue on one VM.
 *
 * @param maximumWaiting requests that may wait in total
 * @param maximumWaitingPerWorkspace requests of one workspace that may wait
 */
public record QueuePolicy(int maximumWaiting, int maximumWaitingPerWorkspace) {}
