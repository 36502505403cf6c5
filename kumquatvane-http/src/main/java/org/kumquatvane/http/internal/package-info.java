/** Adapters between ServiceTalk and the engine; not part of the public API of the module. */
@NullMarked
package org.kumquatvane.http.internal;

import org.jspecify.annotations.NullMarked;
