/** Starts the planned stop of a running process. */
@NullMarked
package org.kumquatvane.cli.drain;

import org.jspecify.annotations.NullMarked;
