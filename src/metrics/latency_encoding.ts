/** Encodes histograms for reports. Importing this module loads a compression library. */
import type * as Hdr from "hdr-histogram-js";
import "hdr-histogram-js/dist/JsHistogram.encoding.js";

/** Returns the histogram in compressed base64, which `hdr-histogram-js` decodes. */
export function encodeHistogram(histogram: Hdr.Histogram): string {
  return (histogram as Hdr.JsHistogram).encodeIntoCompressedBase64();
}
