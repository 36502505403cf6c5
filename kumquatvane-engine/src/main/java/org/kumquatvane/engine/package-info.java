/** Request processing: authorization, rate limits, queueing, attempts and retries. */
@NullMarked
package org.kumquatvane.engine;

import org.jspecify.annotations.NullMarked;
