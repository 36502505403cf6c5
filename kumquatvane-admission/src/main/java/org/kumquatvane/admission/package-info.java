/** Bounded queues that share a service's slots fairly between workspaces. */
@NullMarked
package org.kumquatvane.admission;

import org.jspecify.annotations.NullMarked;
