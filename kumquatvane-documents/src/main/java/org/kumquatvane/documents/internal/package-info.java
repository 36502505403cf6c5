/** Readers of the parts of a document. */
@NullMarked
package org.kumquatvane.documents.internal;

import org.jspecify.annotations.NullMarked;
