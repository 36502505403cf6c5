/** Model of the configuration document, its acceptance rules and differences. */
@NullMarked
package org.kumquatvane.document;

import org.jspecify.annotations.NullMarked;
