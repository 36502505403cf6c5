/** Parsers of values that several settings share. */
@NullMarked
package org.kumquatvane.settings.internal;

import org.jspecify.annotations.NullMarked;
