/** Compares a serve process with direct calls, in one run on one machine. */
@NullMarked
package org.kumquatvane.bench;

import org.jspecify.annotations.NullMarked;
