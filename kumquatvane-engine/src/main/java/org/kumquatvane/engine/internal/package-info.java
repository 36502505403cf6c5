/** Internal steps of request processing; not part of the module's interface. */
@NullMarked
package org.kumquatvane.engine.internal;

import org.jspecify.annotations.NullMarked;
