package org.kumquatvane.http.internal;

import org.kumquatvane.core.RequestId;

/**
 * What is known of a response before it arrives.
 *
 * @param request the request
 * @param isHeadRequest whether the response has no body whatever its head declares
 * @param requestIdField name of the field in which backend servers name the request of a response;
 *     empty if a response that names an earlier request is not to be dropped
 */
public record ExpectedResponse(RequestId request, boolean isHeadRequest, String requestIdField) {}
