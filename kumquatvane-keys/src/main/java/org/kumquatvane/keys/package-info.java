/** Compact table that maps API key digests to workspaces and supports early key withdrawal. */
@NullMarked
package org.kumquatvane.keys;

import org.jspecify.annotations.NullMarked;
