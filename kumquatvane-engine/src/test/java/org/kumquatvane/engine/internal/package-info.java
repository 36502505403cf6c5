/** Tests of the steps of one request. */
@NullMarked
package org.kumquatvane.engine.internal;

import org.jspecify.annotations.NullMarked;
