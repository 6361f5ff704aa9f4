export { buildStory, readLogLines, renderStory } from './buildStory.js'
export type { LogLine, RequestStory, StoryLine } from './buildStory.js'
