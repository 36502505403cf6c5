package org.kumquatvane.settings;

/**
 * Size of the worker pool.
 *
 * @param threads number of threads
 * @param queueCapacity maximum number of queued tasks
 */
public record WorkerPoolSettings(int threads, int queueCapacity) {}
