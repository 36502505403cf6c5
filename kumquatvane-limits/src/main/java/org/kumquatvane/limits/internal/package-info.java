/** Ownership, leases and buckets behind the limiters. */
@NullMarked
package org.kumquatvane.limits.internal;

import org.jspecify.annotations.NullMarked;
