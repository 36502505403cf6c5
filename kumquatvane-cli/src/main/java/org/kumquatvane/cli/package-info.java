/** Command line and commands of the binary. */
@NullMarked
package org.kumquatvane.cli;

import org.jspecify.annotations.NullMarked;
