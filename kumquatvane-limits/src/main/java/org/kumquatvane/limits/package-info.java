/** Rate and burst of workspaces across all VMs. */
@NullMarked
package org.kumquatvane.limits;

import org.jspecify.annotations.NullMarked;
