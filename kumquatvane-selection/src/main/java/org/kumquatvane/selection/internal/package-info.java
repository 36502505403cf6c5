/** Implementation of the fleet-wide instance pool; not part of the module's interface. */
@NullMarked
package org.kumquatvane.selection.internal;

import org.jspecify.annotations.NullMarked;
