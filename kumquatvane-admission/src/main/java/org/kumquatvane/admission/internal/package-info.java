/** Data structures of the admission queue; not part of the module's interface. */
@NullMarked
package org.kumquatvane.admission.internal;

import org.jspecify.annotations.NullMarked;
