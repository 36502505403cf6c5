/** Shows the state of a running process. */
@NullMarked
package org.kumquatvane.cli.status;

import org.jspecify.annotations.NullMarked;
