/** The operators' document: its model, acceptance rules and differences. */
@NullMarked
package org.kumquatvane.document;

import org.jspecify.annotations.NullMarked;
