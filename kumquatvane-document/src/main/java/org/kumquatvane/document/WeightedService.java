package org.kumquatvane.document;

import org.kumquatvane.core.ServiceName;

/**
 * One part of a route whose requests are divided between services.
 *
 * @param service the service
 * @param weight its part of the requests, relative to the other weights; not negative
 */
public record WeightedService(ServiceName service, int weight) {}
