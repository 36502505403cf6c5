/** Commands that run a VM. */
@NullMarked
package org.kumquatvane.cli.serve;

import org.jspecify.annotations.NullMarked;
