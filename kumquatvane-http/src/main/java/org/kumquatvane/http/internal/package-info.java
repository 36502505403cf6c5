/** Translation between ServiceTalk and the engine; not part of the module's interface. */
@NullMarked
package org.kumquatvane.http.internal;

import org.jspecify.annotations.NullMarked;
