/** Selection of an instance for an attempt. */
@NullMarked
package org.kumquatvane.selection;

import org.jspecify.annotations.NullMarked;
