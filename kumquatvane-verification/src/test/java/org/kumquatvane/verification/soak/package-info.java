/** Randomized soak test of real processes; docs/OPERATIONS.md describes how to run it. */
@NullMarked
package org.kumquatvane.verification.soak;

import org.jspecify.annotations.NullMarked;
