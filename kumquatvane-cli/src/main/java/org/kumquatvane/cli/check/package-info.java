/** The check command. */
@NullMarked
package org.kumquatvane.cli.check;

import org.jspecify.annotations.NullMarked;
