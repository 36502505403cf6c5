/** Runs a proxy process. */
@NullMarked
package org.kumquatvane.cli.serve;

import org.jspecify.annotations.NullMarked;
