/** Simulated VMs with their own clocks, pauses and agreed views, for tests. */
@NullMarked
package org.kumquatvane.membership.testing;

import org.jspecify.annotations.NullMarked;
