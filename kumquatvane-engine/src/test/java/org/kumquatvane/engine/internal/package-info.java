/** Tests of the internal steps of request processing. */
@NullMarked
package org.kumquatvane.engine.internal;

import org.jspecify.annotations.NullMarked;
