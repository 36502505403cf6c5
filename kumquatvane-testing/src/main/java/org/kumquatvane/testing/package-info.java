/** Simulated time, a simulated network and other fakes for the tests of decision modules. */
@NullMarked
package org.kumquatvane.testing;

import org.jspecify.annotations.NullMarked;
