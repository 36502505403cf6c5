package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import org.kumquatvane.engine.BodyDescription;

/**
 * Body of a caller's request as it is sent to backend servers.
 *
 * @param description what the engine knows of it
 * @param declaredLength length in bytes, or -1 if it is sent in chunks
 * @param reservedBytes bytes of the buffer budget that it holds until the request ends
 * @param bytes the body; can be subscribed to once for each attempt if it is repeatable
 */
record CallerBody(
    BodyDescription description,
    long declaredLength,
    long reservedBytes,
    Publisher<Buffer> bytes) {}
