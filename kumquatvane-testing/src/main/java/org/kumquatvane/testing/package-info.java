/** Logical time, a logical network and other small fakes for the tests of decision modules. */
@NullMarked
package org.kumquatvane.testing;

import org.jspecify.annotations.NullMarked;
