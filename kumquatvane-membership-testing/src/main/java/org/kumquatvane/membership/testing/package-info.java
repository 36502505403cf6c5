/** Logical VMs with clocks of their own, pauses and safe agreed views for tests. */
@NullMarked
package org.kumquatvane.membership.testing;

import org.jspecify.annotations.NullMarked;
