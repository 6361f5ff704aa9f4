import * as echarts from 'echarts'
import type { Fit } from './fitLine.js'

const WIDTH = 420
const HEIGHT = 260

/** Renders the points and the fitted line of one slope as SVG. */
export function renderPlot (title: string, points: readonly { size: number, value: number }[], fit: Fit): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  const first = points[0]?.size ?? 0
  const last = points.at(-1)?.size ?? 0
  chart.setOption({
    animation: false,
    title: { text: title, textStyle: { fontSize: 13 } },
    grid: { left: 70, right: 20, top: 45, bottom: 35 },
    xAxis: { type: 'value' },
    yAxis: { type: 'value' },
    series: [
      { type: 'line', showSymbol: false, data: [first, last].map((size) => [size, fit.intercept + fit.slope * size]), lineStyle: { color: '#94a3b8' } },
      { type: 'scatter', symbolSize: 9, data: points.map((point) => [point.size, point.value]), itemStyle: { color: '#2563eb' } },
    ],
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}
