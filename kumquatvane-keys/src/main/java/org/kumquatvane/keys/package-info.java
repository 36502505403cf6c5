/** Compact table from key digests to workspaces, with withdrawals. */
@NullMarked
package org.kumquatvane.keys;

import org.jspecify.annotations.NullMarked;
