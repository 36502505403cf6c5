/** Randomized soak of the real programs; docs/OPERATIONS.md tells how to run it. */
@NullMarked
package org.kumquatvane.verification.soak;

import org.jspecify.annotations.NullMarked;
