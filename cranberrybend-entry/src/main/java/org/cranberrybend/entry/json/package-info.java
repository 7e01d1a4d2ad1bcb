/** Reading and writing of JSON. */
package org.cranberrybend.entry.json;
