/** HTTP servers and clients shared by all processes, on HttpCore. */
package org.cranberrybend.runtime.http;
