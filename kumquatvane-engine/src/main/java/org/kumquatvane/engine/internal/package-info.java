/** Steps of one request; not part of the module's interface. */
@NullMarked
package org.kumquatvane.engine.internal;

import org.jspecify.annotations.NullMarked;
