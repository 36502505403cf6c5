/** The trial command. */
@NullMarked
package org.kumquatvane.cli.trial;

import org.jspecify.annotations.NullMarked;
