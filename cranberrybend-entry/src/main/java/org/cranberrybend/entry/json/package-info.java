/** Reading and writing of JSON values. */
package org.cranberrybend.entry.json;
