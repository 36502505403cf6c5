package org.kumquatvane.settings;

/**
 * Size of the worker pool.
 *
 * @param threads number of threads
 * @param queueCapacity tasks that may wait
 */
public record WorkerPoolSettings(int threads, int queueCapacity) {}
