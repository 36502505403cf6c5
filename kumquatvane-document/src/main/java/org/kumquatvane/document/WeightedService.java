package org.kumquatvane.document;

import org.kumquatvane.core.ServiceName;

/**
 * One of several services between which a route's requests are split.
 *
 * @param service the service
 * @param weight share of the requests relative to the other weights; not negative
 */
public record WeightedService(ServiceName service, int weight) {}
