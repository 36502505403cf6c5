/** Commands and the product's binary. */
@NullMarked
package org.kumquatvane.cli;

import org.jspecify.annotations.NullMarked;
